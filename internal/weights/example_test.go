package weights_test

import (
	"fmt"
	"time"

	"quinceridge.example/quinceridge/internal/weights"
)

// The engine with the oldest version is loaded first. It skips the version between.
func ExampleConfig_Next() {
	config := weights.Config{Deadline: 8 * time.Second, Guard: time.Second, Grace: 1500 * time.Millisecond, Divisor: 4}
	versions := []weights.Version{{Number: 2, Start: 0}, {Number: 3, Start: 4 * time.Second}}
	engines := []weights.Engine{{ID: "a", Version: 2}, {ID: "b", Version: 1}, {ID: "c", Version: 2}}

	plan := config.Next(5*time.Second, versions, engines, false)
	fmt.Println(plan.Load, plan.Target, plan.Preferred, plan.Minimum)
	plan = config.Next(7*time.Second, versions, nil, false)
	fmt.Println(plan.Preferred, plan.Minimum)
	// Output:
	// [b a] 3 2 0
	// 3 2
}
