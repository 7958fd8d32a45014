package weights_test

import (
	"fmt"
	"time"

	"quinceridge.example/quinceridge/internal/weights"
)

// A load is put off until its deadline comes near, so that two versions that
// were named closely share it. The engine with the oldest version goes first.
func ExampleConfig_Next() {
	config := weights.Config{Deadline: 8 * time.Second, Guard: time.Second, PerLoad: time.Second, Divisor: 4}
	versions := []weights.Version{{Number: 2, From: 0}, {Number: 3, From: 4 * time.Second}}
	engines := []weights.Engine{{ID: "a", Version: 1}, {ID: "b", Version: 2}}

	fmt.Println(config.Next(time.Second, versions[:1], engines).Load)
	fmt.Println(config.Next(6*time.Second, versions, engines).Load)
	// Output:
	// []
	// [a]
}
