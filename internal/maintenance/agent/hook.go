package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"capercove/internal/maintenance"
)

const hookSays = 300 // bytes of what a hook says that are kept

// hook calls a hook, and writes how it ended. Only the pooler that called it knows; if its end cannot be written while this process
// lives, nobody else may write it.
func (d *Agent) hook(ctx context.Context, call maintenance.Call, self maintenance.Instance) {
	d.pooler.Log.Info().Str("machine", call.Machine).Str("to", call.To).Uint64("number", call.Number).Msg("works: a hook is called")
	ended := make(chan string, 1)
	go func() { ended <- d.config.call(call) }()
	var failed string
	select {
	case failed = <-ended:
	case <-ctx.Done():
		return
	}
	m := d.manner(self)
	for ; ctx.Err() == nil; sleep(ctx, pause) {
		r, err := d.whole(ctx)
		if err != nil {
			continue
		}
		o := m.HookResult(d.pooler.Clock(), wall(), r, call, failed)
		if on, _, _ := o.Change(r); on == nil {
			return // it is known, or of a try that is over
		}
		if !d.agree(ctx, o, r) {
			continue
		}
		for _, again := range o.Calls {
			d.ended.Go(func() { d.hook(ctx, again, self) })
		}
		return
	}
}

// call calls the hook of a call and waits for its end; the text says why it failed. It is not ended with this process: work that is
// broken off half way is worse than work of which nobody knows that it has ended.
func (c Config) call(call maintenance.Call) (failed string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.HookSeconds)*time.Second)
	defer cancel()
	verb, program := "work", c.Hook
	if call.To != "" {
		verb, program = "hand-over", c.HandOver
	}
	var err error
	if c.HookURL != "" && call.To == "" {
		err = post(ctx, c.HookURL, verb, call)
	} else {
		err = start(ctx, program, verb, call)
	}
	switch {
	case err == nil:
		return ""
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fmt.Sprintf("it has not ended after %d s", c.HookSeconds)
	}
	return err.Error()
}

// start starts a program: its own arguments, then what is to be done, the machine, and who takes over, if it is that.
func start(ctx context.Context, program []string, verb string, call maintenance.Call) error {
	args := append(append([]string{}, program[1:]...), verb, call.Machine)
	if call.To != "" {
		args = append(args, call.To)
	}
	out, err := os.CreateTemp("", "capercove-hook-*") // a file, as a pipe would end the program at its next word, should this process end
	if err != nil {
		return err
	}
	defer out.Close()
	os.Remove(out.Name())
	p := exec.CommandContext(ctx, program[0], args...)
	p.Env = append(os.Environ(), "CAPERCOVE_WORK="+strconv.FormatUint(call.Number, 10))
	p.Stdout, p.Stderr = out, out
	p.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a signal for this process's group is not for it
	if err := p.Run(); err != nil {
		says := make([]byte, hookSays)
		n, _ := out.ReadAt(says, 0)
		return fmt.Errorf("%w: %s", err, strings.TrimSpace(string(says[:n])))
	}
	return nil
}

func post(ctx context.Context, to, verb string, call maintenance.Call) error {
	body, err := json.Marshal(map[string]any{"id": call.Number, "do": verb, "machine": call.Machine})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, to, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode/100 != 2 {
		why, _ := io.ReadAll(io.LimitReader(answer.Body, hookSays))
		return fmt.Errorf("%s %s", answer.Status, strings.TrimSpace(string(why)))
	}
	return nil
}
