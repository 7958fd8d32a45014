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
