package main

import (
	"sync"
	"time"
)

// Figures of the case drill.
const (
	rollGap   = 1300 * time.Millisecond // gap_s of roll_term
	copyAfter = 700 * time.Millisecond  // from the second SIGTERM to the copy
	calmTime  = 2 * time.Second         // from the end of the restarts until the store goes away
	awayTime  = 1500 * time.Millisecond // until it comes back
	addedAt   = 500 * time.Millisecond  // from then on until a machine is added
)

// drill: both instances are restarted in turn. Then the store is away for a moment and comes back
// from a copy of while they were stopped; meanwhile a machine is added.
func drill(w *world, trouble bool) int {
	if err := w.prepareQuota(3); err != nil {
		return w.failed(err)
	}
	first, second, added := w.instances[0], w.instances[1], w.instances[2]
	if err := w.startInstances(first, second); err != nil {
		return w.failed(err)
	}
	time.Sleep(stableTime)
	return w.judge(func(c *client) []*caller {
		return []*caller{
			c.newCaller(first.zone, first.directory, second.directory, added.directory),
			c.newCaller(added.zone, added.directory, second.directory, first.directory),
		}
	}, func() error {
		var copied storeCopy
		var copiedAt time.Time
		var errs [2]error
		var wait sync.WaitGroup
		for k, i := range []*instance{first, second} {
			wait.Add(1)
			go func() {
				defer wait.Done()
				errs[k] = i.replaceBy(i)
			}()
			if k == 0 {
				time.Sleep(rollGap)
				continue
			}
			time.Sleep(copyAfter)
			copied, copiedAt = w.store.copyState(), time.Now()
			w.note("the store is copied")
			w.noteRegistered()
		}
		wait.Wait()
		for _, err := range errs {
			if err != nil {
				return err
			}
		}
		time.Sleep(calmTime)
		w.noteRegistered()
		if trouble {
			w.store.goAway()
			w.note("the store is away")
			time.AfterFunc(awayTime, func() {
				w.store.comeBack(copied)
				w.note("the store comes back from a copy that is %v old", time.Since(copiedAt).Round(time.Millisecond))
				w.noteRegistered()
			})
		}
		time.Sleep(addedAt)
		if err := w.startInstances(added); err != nil {
			return err
		}
		time.Sleep(stableTime)
		return nil
	})
}
