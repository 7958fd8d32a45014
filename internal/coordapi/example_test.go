package coordapi_test

import (
	"fmt"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// The leader packs data for all routers once, and each router unpacks it.
func ExamplePack() {
	packed, err := coordapi.Pack([]coordapi.Load{{ID: "i-7f3a91c2", Running: 3, Memory: 21000, Prompt: 400}})
	if err != nil {
		fmt.Println(err)
		return
	}
	var loads []coordapi.Load
	if err := coordapi.Unpack(packed, &loads); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(loads[0].ID, loads[0].Running)
	// Output: i-7f3a91c2 3
}
