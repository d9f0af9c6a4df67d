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
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"capercove/internal/maintenance"
)

const (
	maxQuotedBytes = 300 // of the output of a hook, or of a response, that an error quotes
	taskWork       = "work"
	taskHandOver   = "hand-over"
	workIDVariable = "CAPERCOVE_WORK" // environment variable that holds the fencing number of the call
)

// startHooks calls hooks in the background. Stop waits for these goroutines, but not for the hooks.
func (a *Agent) startHooks(ctx context.Context, calls []maintenance.Call, self maintenance.Instance) {
	for _, call := range calls {
		a.background.Go(func() { a.runHook(ctx, call, self) })
	}
}

// runHook calls a hook and writes its result to the record. Only the pooler that called the hook knows the result. If
// this process ends before it has written the result, no other pooler may write it.
func (a *Agent) runHook(ctx context.Context, call maintenance.Call, self maintenance.Instance) {
	a.pooler.Log.Info().Str("machine", call.Machine).Str("to", call.To).Uint64("number", call.Number).
		Msg("maintenance: calling hook")
	result := make(chan string, 1)
	go func() { result <- a.config.callHook(call) }() //nolint:contextcheck // the hook may outlive this process
	select {
	case failed := <-result:
		a.writeHookResult(ctx, call, self, failed)
	case <-ctx.Done():
	}
}

// writeHookResult writes the result of a hook to the record, and calls the hook again if the change asks for that.
func (a *Agent) writeHookResult(
	ctx context.Context, call maintenance.Call, self maintenance.Instance, failed string,
) {
	policy := a.policy(self)
	for ; ctx.Err() == nil; sleep(ctx, retryPause) {
		record, err := a.readWholeRecord(ctx)
		if err != nil {
			continue
		}
		proposal := policy.HookResult(a.pooler.Clock(), wallClock(), record, call, failed)
		if revisions, _, _ := proposal.Change(record); revisions == nil {
			return // the result is already recorded, or its attempt has ended
		}
		if a.agree(ctx, proposal, record) {
			a.startHooks(ctx, proposal.Calls, self)
			return
		}
	}
}

// callHook calls the hook for a piece of work and waits for its end. It returns the reason of a failure, and an empty
// text after a success. The hook survives the end of this process: interrupted work is worse than work whose end is not
// recorded.
func (c Config) callHook(call maintenance.Call) (failed string) {
	timeout := time.Duration(c.HookSeconds) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var err error
	switch {
	case call.To != "":
		err = runProgram(ctx, c.HandOver, call.Number, taskHandOver, call.Machine, call.To)
	case c.HookURL != "":
		err = postHook(ctx, c.HookURL, call)
	default:
		err = runProgram(ctx, c.Hook, call.Number, taskWork, call.Machine)
	}
	switch {
	case err == nil:
		return ""
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fmt.Sprintf("it has not ended after %d s", c.HookSeconds)
	}
	return err.Error()
}

// runProgram runs a program with its configured arguments, followed by those of the task. Its output goes to a file: if
// this process ended, a pipe would break and end the program at its next write.
func runProgram(ctx context.Context, program []string, number uint64, task ...string) error {
	output, err := os.CreateTemp("", "capercove-hook-*")
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }() // no data of this process can be lost
	_ = os.Remove(output.Name())          // a remaining file does no harm
	args := slices.Concat(program[1:], task)
	command := exec.CommandContext(ctx, program[0], args...)
	command.Env = append(os.Environ(), workIDVariable+"="+strconv.FormatUint(number, 10))
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // signals to this process's group do not reach it
	if err := command.Run(); err != nil {
		text := make([]byte, maxQuotedBytes)
		n, _ := output.ReadAt(text, 0)
		return fmt.Errorf("%w: %s", err, strings.TrimSpace(string(text[:n])))
	}
	return nil
}

// hookRequest is the body of an HTTP request to a hook.
type hookRequest struct {
	Do      string `json:"do"`
	ID      uint64 `json:"id"`
	Machine string `json:"machine"`
}

// postHook calls a web service that does the work. Any status other than 2xx is an error.
func postHook(ctx context.Context, url string, call maintenance.Call) error {
	body, err := json.Marshal(hookRequest{Do: taskWork, ID: call.Number, Machine: call.Machine})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body is not read further
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxQuotedBytes))
		return fmt.Errorf("%s %s", response.Status, strings.TrimSpace(string(reason)))
	}
	return nil
}
