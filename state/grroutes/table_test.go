package grroutes

import "testing"

// TestMatch checks that the longest matching prefix wins, that a prefix only matches at a
// path separator, and that the host is compared without port and case.
func TestMatch(t *testing.T) {
	table := &Table{Routes: []Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "tickets", Host: "a.example", PathPrefix: "/tickets/"},
		{Name: "old", Host: "a.example", PathPrefix: "/tickets/old/"},
		{Name: "other", Host: "b.example", PathPrefix: "/tickets/"},
	}}
	table.BuildIndex()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/tickets/7", "tickets"},
		{"A.Example:80", "/tickets/old/7", "old"},
		{"a.example", "/tickets/older", "tickets"},
		{"a.example", "/tickets", "root"},
		{"b.example", "/tickets/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/tickets/", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}
