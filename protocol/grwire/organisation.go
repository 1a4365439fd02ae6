package grwire

import (
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// OrganisationWire is an organisation with the digests of its keys.
type OrganisationWire struct {
	Name        string   `cbor:"1,keyasint,omitempty"`
	Keys        [][]byte `cbor:"2,keyasint,omitempty"`
	HasPriority bool     `cbor:"3,keyasint,omitempty"`
	Priority    int      `cbor:"4,keyasint,omitempty"`
	PerSecond   float64  `cbor:"5,keyasint,omitempty"`
	Burst       float64  `cbor:"6,keyasint,omitempty"`
}

func organisationTo(o *grroutes.Organisation) OrganisationWire {
	w := OrganisationWire{
		Name: string(o.Name), HasPriority: o.HasPriority, Priority: o.Priority, PerSecond: o.Quota.PerSecond, Burst: o.Quota.Burst,
	}
	for i := range o.Keys {
		w.Keys = append(w.Keys, o.Keys[i][:])
	}
	return w
}

// organisationFrom converts an organisation from its wire form. A digest of another length
// matches no key and is left out.
func organisationFrom(w *OrganisationWire) grroutes.Organisation {
	o := grroutes.Organisation{
		Name: grident.Organisation(w.Name), HasPriority: w.HasPriority, Priority: w.Priority,
		Quota: grroutes.Quota{PerSecond: w.PerSecond, Burst: w.Burst},
	}
	for _, key := range w.Keys {
		if len(key) == len(grroutes.KeyDigest{}) {
			o.Keys = append(o.Keys, grroutes.KeyDigest(key))
		}
	}
	return o
}
