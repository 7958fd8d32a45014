// Package version holds the product's version.
package version

// Current is the version of this source tree. CHANGELOG.md describes it.
const Current = "0.1.0"
