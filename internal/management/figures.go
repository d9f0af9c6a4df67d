package management

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"capercove/internal/core"
)

// figures builds the text of the telemetry. Each line is app.NAME=VALUE.
type figures struct{ text strings.Builder }

// count adds the line of a counter or gauge. The name lacks the prefix "app.".
func (f *figures) count(name string, value int64) { f.add("app.%s=%d\n", name, value) }

// add appends formatted text, which includes the prefix and the end of the line.
func (f *figures) add(format string, arguments ...any) {
	_, _ = fmt.Fprintf(&f.text, format, arguments...) // a strings.Builder returns no error
}

// figureLines returns the pooler's figures, one per line. Their names are an interface that monitoring relies on.
func figureLines(values core.Figures, exclusionsUnsaved int) string {
	var lines figures
	for _, name := range slices.Sorted(maps.Keys(values.Classes)) {
		answers := values.Classes[name]
		lines.add("app.downstream_requests.%s.completed=%d\n", name, answers.Served)
		lines.add("app.downstream_requests.%s.rejected=%d\n", name, answers.Refused)
		lines.add("app.downstream_requests.%s.failed=%d\n", name, answers.Failed)
	}
	lines.add("app.upstream_requests=%d\n", values.Written)
	lines.add("app.pending=%d\n", values.OpenRequests)
	lines.add("app.members=%d\n", values.Members)
	lines.add("app.members_unavailable=%d\n", values.Unavailable)
	lines.add("app.config_reloads=%d\n", values.Reloads)
	lines.add("app.config_reload_errors=%d\n", values.ReloadErrors)
	lines.add("app.config_rejected_age_ms=%d\n", values.RejectedReloadAge.Milliseconds())
	lines.add("app.bans_unsaved=%d\n", exclusionsUnsaved)
	if values.Admission != nil {
		lines.admission(values.Admission)
	}
	return lines.text.String()
}

// admission adds the figures of admission control. The sojourn times are in milliseconds.
func (f *figures) admission(values *core.AdmissionFigures) {
	count := &values.Count
	f.count("door.queued", int64(values.Queued))
	f.count("door.offered", count.Offered)
	f.count("door.admitted", count.Admitted)
	f.count("door.waited", count.Waited)
	f.count("door.left", count.Left)
	f.count("door.refused.late", count.TooLate+count.Expired)
	f.count("door.refused.full", count.QueueFull)
	f.count("door.refused.ceiling", count.OverCeiling)
	f.count("door.refused.class_gone", count.ClassGone)
	f.count("door.promises.made", count.RetriesScheduled)
	f.count("door.promises.none", count.RetriesUnscheduled)
	f.count("door.promises.early", count.RetriesEarly)
	f.count("door.promises.kept", count.RetriesAdmitted)
	f.count("door.promises.broken", count.RetriesRejected)
	for _, name := range slices.Sorted(maps.Keys(values.Sojourn)) {
		f.add("app.door.sojourn_ms.%s=%.3f\n", name, values.Sojourn[name])
	}
	for _, tenant := range values.Tenants {
		f.add("app.door.tenants.%s.queued=%d\n", tenant.Name, tenant.Queued)
		f.add("app.door.tenants.%s.inside=%d\n", tenant.Name, tenant.InFlight)
		f.add("app.door.tenants.%s.admitted=%d\n", tenant.Name, tenant.Admitted)
		f.add("app.door.tenants.%s.refused=%d\n", tenant.Name, tenant.Rejected)
	}
}
