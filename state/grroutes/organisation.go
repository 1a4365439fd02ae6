package grroutes

import (
	"crypto/sha256"

	"geraniumrouter/state/grident"
)

// KeyDigest identifies an organisation's key without revealing it. It is the beginning of the
// SHA-256 digest of the key.
type KeyDigest [16]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Quota limits an organisation's requests over all instances together. The zero value means no
// limit.
type Quota struct {
	PerSecond float64 // requests per second; 0: no limit
	Burst     float64 // requests beyond that at once
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Organisation is a tenant whose requests are identified by their key.
type Organisation struct {
	Name        grident.Organisation
	Keys        []KeyDigest
	HasPriority bool
	Priority    int // with HasPriority: replaces the route's priority; 0 is the most urgent
	Quota       Quota
}

// ID returns the name of the organisation, or "" for nil.
func (o *Organisation) ID() grident.Organisation {
	if o == nil {
		return ""
	}
	return o.Name
}

// RequiresKey reports whether a request on the route needs the key of an organisation.
func (t *Table) RequiresKey(r *Route) bool { return len(t.Organisations) > 0 && !r.Public }

// OrganisationOf returns the organisation that holds the key with the digest, or nil.
func (t *Table) OrganisationOf(key KeyDigest) *Organisation { return t.organisationsByKey[key] }

func (t *Table) indexOrganisations() {
	t.organisationsByKey = make(map[KeyDigest]*Organisation, len(t.Organisations))
	for i := range t.Organisations {
		for _, key := range t.Organisations[i].Keys {
			t.organisationsByKey[key] = &t.Organisations[i]
		}
	}
}
