package decay

import (
	"fmt"
	"time"
)

func ExampleSum() {
	var s Sum
	s.Add(0, time.Second, 100)
	s.Add(time.Second, time.Second, 10)
	fmt.Printf("%.1f %.1f\n", s.Value(time.Second, time.Second), s.Value(2*time.Second, time.Second))
	// Output: 46.8 17.2
}
