//go:build race

// Package racedetector tells tests whether they run with the race detector, which slows a process several times.
package racedetector

// Enabled is set in builds with the race detector.
const Enabled = true
