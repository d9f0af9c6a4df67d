// Command standin plays one case of the review: stand-in databases, discovery and clients around a pooler that is started
// with the command of the deploy file. It runs from the repository's root.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// verdict is what a case found.
type verdict struct {
	broken  int    // how often the rule was broken
	checked int    // how many requests were checked
	note    string // for the record
}

var cases = map[string]func(r *record, trouble bool) verdict{}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func main() {
	runtime.LockOSThread() // the pooler is killed with the thread that started it
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	defer func() {
		if failure := recover(); failure != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", failure)
			os.Exit(2)
		}
	}()
	file, err := os.Create(os.Args[2])
	must(err)
	r := &record{file: file, begun: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble %v, begun %s", os.Args[1], trouble, time.Now().UTC().Format(time.RFC3339))
	found := cases[os.Args[1]](r, trouble)
	result := fmt.Sprintf("%d of %d checked broke the rule; %s", found.broken, found.checked, found.note)
	r.printf("%s", result)
	fmt.Println(result)
	switch {
	case found.checked == 0:
		os.Exit(2)
	case found.broken > 0:
		os.Exit(1)
	}
}
