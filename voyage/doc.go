// Package voyage holds scripted end-to-end tests: whole deployments of real
// processes on loopback with kills, freezes, outages and operators' changes.
// The scripts are in testdata.
package voyage
