package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/cachemiss"
)

type rereadCommand struct {
	Logs []string `arg:"" name:"log" type:"existingfile" help:"Logs of the routers and coordinators."`
}

// Run prints why engines processed shared parts of prompts again.
func (c *rereadCommand) Run() error {
	var log cachemiss.Log
	for _, name := range c.Logs {
		if err := readLog(&log, name); err != nil {
			return errors.Wrap(err, name)
		}
	}
	result := cachemiss.Replay(&log)
	return result.WriteTable(os.Stdout)
}

func readLog(log *cachemiss.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return log.Read(file)
}
