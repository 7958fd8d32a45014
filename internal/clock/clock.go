// Package clock is the clock by which the product decides: leases, rights, deadlines,
// windows and ages are differences of its readings.
package clock
