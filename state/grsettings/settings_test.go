package grsettings

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse checks the parsed settings, or the complete list of errors, for each input in
// testdata/parse.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Parse("entry.ini", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("instance %s in %s, ttl %d, %d platform addresses\n", s.Instance, s.FailureDomain, s.EntryListTTL, len(s.PlatformAddresses))
	})
}

// TestExamples checks that every settings file in the examples folder is valid.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.ini")
	if err != nil || len(files) != 10 {
		t.Fatalf("found %d example files, want 10; error: %v", len(files), err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(file, data); err != nil {
			t.Error(err)
		}
	}
}
