package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets scripts run the program.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"geraniumrouter": main})
}

// TestScripts runs the scripts of the command line.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
