// Package soak holds randomised fault tests. A test runs entry hosts as
// separate processes with a stand-in of the users' platform, injects random
// faults from outside the processes, and checks the guarantees of the scheduler
// by the answers to the clients and the calls to the workers. TestSoak is the
// entry point; the faults are listed in fault_test.go.
package soak
