// Command fleet3 plays the scripted cases of a review: it starts nodes as separate
// processes beside stand-ins of the store, of servers and of clients, and checks one
// rule by what clients and servers see.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case and returns what broke the rule; nothing if it held. Without
// trouble it plays the same without the disruption.
type scenario func(f *fleet, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"stop-public":     playStopPublic,
	"popular":         playPopular,
	"crowd-bodies":    playCrowdBodies,
	"forgotten-leave": playForgottenLeave,
	"raw-path":        playRawPath,
}

// maxLength is how long a case may run; it is ended then as one that could not run.
const maxLength = 110 * time.Second

func main() { os.Exit(execute()) }

func execute() int {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: fleet3 CASE RECORD NODE-PROGRAM SETTINGS-TEMPLATE")
		return exitFailed
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitFailed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	rec := &record{file: file, began: time.Now()}
	f, err := newFleet(os.Args[3], os.Args[4], rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	time.AfterFunc(maxLength, func() {
		rec.printf("the case takes too long")
		f.close()
		os.Exit(exitFailed)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %t", os.Args[1], trouble)
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case len(broken) > 0:
		for _, line := range broken {
			rec.printf("BROKEN %s", line)
		}
		fmt.Println("the rule was broken:", broken[0])
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
