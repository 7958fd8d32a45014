package main

import (
	"context"
	"fmt"

	"quinceridge.example/quinceridge/internal/slopes"
)

type slopesCommand struct {
	Report  string `required:"" help:"Folder for the table and the plots."`
	Network int    `default:"61" help:"Second number of all addresses."`
}

// Run implements the command.
func (c *slopesCommand) Run(ctx context.Context) error {
	all, err := slopes.Measure(ctx, c.Network, func(name string) { fmt.Println("measured:", name) })
	if err != nil {
		return err
	}
	fmt.Print(slopes.Table(all))
	return slopes.Report(c.Report, all)
}
