//go:build review

// Command stand2 plays one case of the second review: it starts the daemon as the deploy file says, with stand-ins
// of the store, the cloud API, the engines and the clients on loopback, and says whether a rule was broken.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(w *world, trouble bool) (verdict string, isBroken bool){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		runEngineProcess(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER, from the repository's root")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case; the record goes to record.txt in the case's folder.
func play(name, folder string) (code int) {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	defer func() {
		if r := recover(); r != nil {
			w.logf("the case could not run: %v", r)
			fmt.Fprintln(os.Stderr, "the case could not run:", r)
			code = failed
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, disruption %v, %s", name, trouble, time.Now().UTC().Format(time.RFC3339))
	verdict, isBroken := cases[name](w, trouble)
	w.logf("%s", strings.TrimSpace(verdict))
	fmt.Println(verdict)
	if isBroken {
		return broken
	}
	return held
}
