package loader

import (
	"log/slog"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file reads the engine's reports, and tells from them how orders ended.

func (l *Loader) reportRead(e ReportRead) {
	l.reading = false
	if l.readAt < l.acceptedAt {
		// Guards against a report that overtakes an order: it was read before
		// the engine accepted it, and shows memory as free that is promised.
		l.nextRead = l.now
		return
	}
	if e.Err != nil {
		l.engine.failed++
		l.engine.ended = errors.Is(e.Err, syscall.ECONNREFUSED) && l.engine.answered && !l.engine.leaving
		if l.engine.failed == failedReads {
			l.log("engine does not answer", slog.String("error", e.Err.Error()))
			l.engine.report, l.task = nil, nil
		}
		return
	}
	if !l.presentLife(e.Report) {
		return
	}
	if l.engine.failed >= failedReads {
		l.log("engine answers again", slog.Int64("orders", e.Report.Sequence))
	}
	l.engine.failed = 0
	l.engine.answered, l.engine.leaving, l.engine.ended = true, e.Report.Draining, false
	before := l.engine.report
	l.engine.report = &e.Report
	if before == nil || before.Draining != e.Report.Draining {
		l.log("engine state", slog.Bool("draining", e.Report.Draining), slog.String("leaves_in", e.Report.LeavesIn.String()),
			slog.Int("models", len(e.Report.Models)))
	}
	l.countUsage()
	l.checkTask()
}

// checkTask ends the task once the engine is no longer busy with it.
func (l *Loader) checkTask() {
	t := l.task
	if t == nil || l.engine.report.Busy {
		return
	}
	l.task = nil
	took := l.now.Sub(t.began)
	has := l.findLoaded(t.order.Model) != nil
	if has != (t.order.Kind == fleet.OrderLoad) {
		l.log("order had no effect", orderAttrs(t.order, slog.String("took", took.String()))...)
		return
	}
	l.log("order carried out", orderAttrs(t.order, slog.String("took", took.String()),
		slog.String("tier", t.tier.String()), slog.Int("models", len(l.engine.report.Models)))...)
	if t.order.Kind != fleet.OrderLoad {
		return
	}
	l.loadedAt[t.order.Model] = l.now
	l.emit(Observe{core.Observe{Name: metricLoadSeconds, Labels: []string{t.tier.String()}, Value: took.Seconds()}})
	if t.tier == tierStore {
		l.storeLoads++
		l.lastStore = &core.StoreLoadResult{
			Sequence: l.storeLoads, Took: took, Nominal: l.spec.models[t.order.Model].StoreLoad,
		}
	}
}

// scheduleRead asks for a report when one is due.
func (l *Loader) scheduleRead() {
	if l.reading || l.now < l.nextRead {
		return
	}
	l.reading, l.readAt = true, l.now
	l.nextRead = l.now.Add(l.readPause())
	l.emit(ReadReport{})
}

// readPause is the pause before the next report but one.
func (l *Loader) readPause() time.Duration {
	switch t := l.task; {
	case t != nil && l.now < t.due:
		return min(busyRead, t.due.Sub(l.now))
	case t != nil && l.now.Sub(t.due) < lateAfter:
		return endRead
	case t != nil:
		return lateRead
	case l.engine.report != nil && len(l.engine.report.Coming) > 0:
		return endRead
	case l.engine.report != nil && l.engine.report.Running > 0:
		return busyRead
	default:
		return idleRead
	}
}

func (l *Loader) findLoaded(model string) *fleet.LoadedModel {
	if l.engine.report == nil {
		return nil
	}
	for i := range l.engine.report.Models {
		if l.engine.report.Models[i].Name == model {
			return &l.engine.report.Models[i]
		}
	}
	return nil
}
