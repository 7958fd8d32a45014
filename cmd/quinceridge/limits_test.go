package main

import (
	"os"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

func Example_writeLimits() {
	_ = writeLimits(os.Stdout, coordapi.LimitsInForce{
		Backends: []coordapi.BackendLimit{{ID: "engine-7", Pool: "chat", Rate: 1.5, ObservedAgo: 300 * time.Millisecond, Granted: 1.4, Denied: 3}},
		Tenants:  []coordapi.TenantLimit{{Name: "shop", Rate: 1000, Burst: 500, Asked: 1200, Refused: 200}},
	})
	// Output:
	// BACK END  POOL  REQUESTS/S  GRANTED/S  DENIED/S  HEARD
	// engine-7  chat  1.5         1.40       3.00      300ms ago
	//
	// TENANT  UNITS/S  BURST  ASKED/S  REFUSED/S
	// shop    1000     500    1200.0   200.0
}

func Example_writeSoftware() {
	_ = writeSoftware(os.Stdout, []coordapi.SoftwareInService{{Pool: "chat", Software: "v1", State: coordapi.SoftwareFormer},
		{Pool: "chat", Software: "v2", Backends: 11, State: coordapi.SoftwareServing}, {Pool: "chat", Software: "v3", Backends: 1, State: coordapi.SoftwareHeld}})
	// Output:
	// POOL  SOFTWARE  BACK ENDS  STATE
	// chat  v1        0          former
	// chat  v2        11         serving
	// chat  v3        1          held
}
