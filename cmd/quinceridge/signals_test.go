package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against SIGHUP that ends a process with all requests that it has read.
func TestHangupDoesNotEndProcess(t *testing.T) {
	stopped := stopSignal()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-stopped:
		t.Fatal("SIGHUP stops the process")
	case <-time.After(100 * time.Millisecond):
	}
}
