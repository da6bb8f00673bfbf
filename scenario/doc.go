// Package scenario holds scripted end-to-end tests. Each script in testdata
// starts a whole deployment of separate processes on loopback addresses, sends
// requests to it, injects faults such as killed or frozen processes and store
// outages, and checks the answers. The commands of the scripts are listed in
// TestScripts.
package scenario
