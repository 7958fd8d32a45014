// Command cases runs one case of the review against the project's own programs.
//
// It is started at the root of the repository with the name of a case and the path of its record. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it does the
// same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"relay":    runRelay,
	"isolated": runIsolated,
	"versions": runVersions,
	"rest":     runRest,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.stop()
		os.Exit(2)
	}()
	v, err := cases[name](d, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case v.broken:
		rec.add("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return 1
	}
	rec.add("held: %s", v.text)
	fmt.Println("held:", v.text)
	return 0
}
