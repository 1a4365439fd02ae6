package grcluster

import (
	"geraniumrouter/coordination/grregistry"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Evacuation is the operators' request that the searchers of a failure domain get no requests,
// or its end (Gone), with the revision of that change on the platform.
type Evacuation struct {
	Domain   grident.FailureDomain
	State    State // Live or Gone
	Revision grident.Revision
}

// ListEvacuations processes the complete list of evacuations as of a revision. Those that any
// instance holds from before and the list lacks have ended.
func (c *Cluster) ListEvacuations(now grclock.Millis, list []Evacuation, at grident.Revision, out *Output) {
	c.runStep(now, out, func() {
		if c.evacuationsUpTo.Era() < at.Era() {
			c.evacuationGraceEnd = now + grregistry.GracePeriod
		}
		c.evacuationsUpTo = max(c.evacuationsUpTo, at)
		listed := make(map[grident.FailureDomain]bool, len(list))
		for _, e := range list {
			listed[e.Domain] = true
			c.storeEvacuation(now, e)
		}
		for _, domain := range c.EvacuatedDomains() {
			held, _ := c.items.Get(evacuationKey(domain))
			if !listed[domain] && revisionOf(held.Version) <= at && !c.mayBeWrittenAgain(now, held) {
				c.storeEvacuation(now, Evacuation{domain, Gone, at})
			}
		}
	})
}

// mayBeWrittenAgain reports whether an evacuation of an earlier era may be missing only in the
// copy from which the platform came back.
func (c *Cluster) mayBeWrittenAgain(now grclock.Millis, held Item) bool {
	return now < c.evacuationGraceEnd && revisionOf(held.Version).Era() < c.evacuationsUpTo.Era()
}

// endLostEvacuations ends those that were not written again after the platform came back from a
// copy.
func (c *Cluster) endLostEvacuations(now grclock.Millis) {
	if c.evacuationGraceEnd == 0 || now < c.evacuationGraceEnd {
		return
	}
	c.evacuationGraceEnd = 0
	for _, domain := range c.EvacuatedDomains() {
		held, _ := c.items.Get(evacuationKey(domain))
		if revisionOf(held.Version).Era() < c.evacuationsUpTo.Era() {
			c.storeEvacuation(now, Evacuation{domain, Gone, c.evacuationsUpTo})
		}
	}
}

// ChangeEvacuations processes changes after the list, up to a revision.
func (c *Cluster) ChangeEvacuations(now grclock.Millis, changes []Evacuation, upTo grident.Revision, out *Output) {
	c.runStep(now, out, func() {
		c.evacuationsUpTo = max(c.evacuationsUpTo, upTo)
		for _, e := range changes {
			c.storeEvacuation(now, e)
		}
	})
}

func (c *Cluster) storeEvacuation(now grclock.Millis, e Evacuation) {
	c.readingEvacuations = true
	defer func() { c.readingEvacuations = false }()
	c.put(now, evacuationKey(e.Domain), versionAt(e.Revision, e.State), Value{Kind: EvacuationKind, EvacuatedDomain: e.Domain})
}

// evacuationChanged reports the begin or the end of an evacuation. What another instance sends
// of before this instance's own reads, which did not have it, has ended.
func (c *Cluster) evacuationChanged(now grclock.Millis, old, item Item) {
	was := old.Value.Kind == EvacuationKind && StateOf(old.Version) != Gone
	state := StateOf(item.Version)
	isOutdated := revisionOf(item.Version) <= c.evacuationsUpTo && !c.mayBeWrittenAgain(now, item)
	if state != Gone && !was && !c.readingEvacuations && isOutdated {
		c.storeEvacuation(now, Evacuation{item.Value.EvacuatedDomain, Gone, c.evacuationsUpTo})
		return
	}
	if was == (state != Gone) {
		return
	}
	c.out.Evacuations = append(c.out.Evacuations, Evacuation{item.Value.EvacuatedDomain, state, revisionOf(item.Version)})
	c.out.SearchersChanged = true
}

// EvacuatedDomains returns the failure domains whose searchers are to get no requests.
func (c *Cluster) EvacuatedDomains() []grident.FailureDomain {
	var list []grident.FailureDomain
	c.items.All(func(item Item) {
		if item.Value.Kind == EvacuationKind && StateOf(item.Version) != Gone {
			list = append(list, item.Value.EvacuatedDomain)
		}
	})
	return list
}
