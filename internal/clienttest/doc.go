// Package clienttest starts the system's processes on loopback and tests that they survive crowds of clients
// that break the limits. The tests of this package run one at a time, apart from other load.
package clienttest
