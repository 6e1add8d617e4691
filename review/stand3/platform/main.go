//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scripts run a case in a world; they return the sentence that says how the rule was broken, or an empty one.
var scripts = map[string]func(w *world) (broken string, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Println("usage: stand3 SCRIPT FOLDER")
		return exitNotRun
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	defer w.close()
	stop := time.AfterFunc(115*time.Second, func() {
		fmt.Println("the case took too long")
		w.close()
		os.Exit(exitNotRun)
	})
	defer stop.Stop()
	broken, err := scripts[os.Args[1]](w)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken != "":
		w.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	w.note("held")
	fmt.Println("held")
	return exitHeld
}
