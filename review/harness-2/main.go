//go:build review

// Command harness-2 plays the script cases of the second review: it is the clients, the platform and, with the
// argument replica, one replica.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may take.
const maxTime = 100 * time.Second

// The exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

// cases holds the script cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*site) (bool, error){
	"leaving": leaving,
	"frozen":  frozen,
	"gone":    gone,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		if err := runReplica(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER, from the root of the repository; TROUBLE=0 leaves out the disruption")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	s, err := newSite(folder, os.Getenv("TROUBLE") != "0")
	if s == nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer s.close()
	type result struct {
		isBroken bool
		err      error
	}
	ended := make(chan result, 1)
	go func() {
		r := result{err: err}
		if err == nil {
			r.isBroken, r.err = cases[name](s)
		}
		ended <- r
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	isBroken := false
	select {
	case r := <-ended:
		isBroken, err = r.isBroken, r.err
	case sig := <-stop:
		err = fmt.Errorf("stopped by signal %v", sig)
	case <-time.After(maxTime):
		err = fmt.Errorf("not done within %v", maxTime)
	}
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return notRun
	case isBroken:
		s.note("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	s.note("the rule held")
	fmt.Println("the rule held")
	return held
}
