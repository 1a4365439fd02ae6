package grsettings

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse reads settings from a data file and prints every fault.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Parse("entry.ini", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("instance %s in %s, ttl %d, %d platform addresses\n", s.Instance, s.FailureDomain, s.EntryTTL, len(s.Platform))
	})
}

// TestExamples checks the example settings.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.ini")
	if err != nil || len(files) != 10 {
		t.Fatalf("%d example files, %v", len(files), err)
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
