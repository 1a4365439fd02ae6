package grstanddemo

import (
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/standin/grstanddata"
)

// Preset returns an example preset for a deployment; the name is "ordinary",
// "peak" or "maintenance". Preset "peak" admits more queries and gives those of
// the first collection more weight; "maintenance" allows partial answers.
func Preset(d grstanddata.Deployment, name string) grwire.PresetWire {
	terms := grwire.TermsWire{DeadlineMS: 300, MinCoverage: 0.9, Partial: "allow", Weight: 10}
	if d.Name == "restrepo" {
		terms = grwire.TermsWire{DeadlineMS: 1000, MinCoverage: 1, Partial: "refuse", Weight: 10}
	}
	p := grwire.PresetWire{
		Name: name, HedgeBudget: 0.04, RetryBudget: 0.05, MaxQueries: 400, MaxQueue: 256,
		Default: terms, Collections: map[string]grwire.TermsWire{},
	}
	first := string(d.Collections[0].Collection)
	switch name {
	case "peak":
		p.HedgeBudget, p.MaxQueries = 0.02, 800
		terms.Weight = 30
		p.Collections[first] = terms
	case "maintenance":
		terms.MinCoverage, terms.Partial = 0.8, "allow"
		p.Default = terms
		p.RetryBudget = 0.1
	}
	return p
}

// preset returns an example preset, with the cluster's query timeout if that is
// set.
func (c *Cluster) preset(name string) grwire.PresetWire {
	p := Preset(c.Deployment, name)
	if c.QueryTimeout == 0 {
		return p
	}
	p.Default.DeadlineMS = int64(c.QueryTimeout)
	for collection, terms := range p.Collections {
		terms.DeadlineMS = int64(c.QueryTimeout)
		p.Collections[collection] = terms
	}
	return p
}
