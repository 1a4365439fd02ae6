package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the program available to the test scripts as a command.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"geraniumrouter": main})
}

// TestScripts runs the command-line test scripts in testdata/script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
