// Package soak runs entry hosts as separate processes beside a stand-in of the
// users' platform, injects random faults from outside them, and checks the
// promises from what clients and workers see.
package soak
