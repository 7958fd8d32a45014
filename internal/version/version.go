// Package version defines the product's version.
package version

// Current is the version of this source tree.
const Current = "0.1.0"
