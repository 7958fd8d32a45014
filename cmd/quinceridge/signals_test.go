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

// Guards against a repeated SIGTERM that ends a stopping process before its requests have ended.
func TestRepeatedTerminationDoesNotEndProcess(t *testing.T) {
	stopped := stopSignal()
	for range 3 {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		select {
		case <-stopped:
		case <-time.After(2 * time.Second):
			t.Fatal("SIGTERM does not stop the process")
		}
		time.Sleep(50 * time.Millisecond)
	}
}
