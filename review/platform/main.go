//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 4 && os.Args[1] == "engine" {
		return runEngine(os.Args[2], os.Args[3])
	}
	cases := map[string]func(*world, bool) int{"endless": runEndless, "history": runHistory, "crash": runCrash, "bodies": runBodies, "large": runLarge, "part": runPart}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE DIRECTORY")
		return notRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	if _, err := os.Stat(daemon); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	w, err := newWorld(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v", os.Args[1], trouble)
	result := cases[os.Args[1]](w, trouble)
	w.note("exit status %d", result)
	return result
}
