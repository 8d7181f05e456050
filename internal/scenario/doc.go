// Package scenario tests the shipped binaries as separate processes against the
// platform stand-ins. The scripts are in testdata; commands_test.go describes
// their commands.
package scenario
