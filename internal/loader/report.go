package loader

import (
	"log/slog"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file handles the engine's reports and determines from them how orders ended.

func (l *Loader) reportRead(e ReportRead) {
	l.readPending = false
	if l.lastReadAt < l.acceptedAt {
		// Guards against a report that was read before the engine accepted an order and
		// arrives after it. It shows memory as free that the order needs.
		l.nextRead = l.now
		return
	}
	if e.Err != nil {
		l.engine.failedReads++
		l.engine.ended = errors.Is(e.Err, syscall.ECONNREFUSED) && l.engine.answered && !l.engine.draining
		if l.engine.failedReads == maxFailedReads {
			l.log("engine does not answer", slog.String("error", e.Err.Error()))
			l.engine.report, l.task = nil, nil
		}
		return
	}
	if !l.isCurrentLife(e.Report) {
		return
	}
	if l.engine.failedReads >= maxFailedReads {
		l.log("engine answers again", slog.Int64("orders", e.Report.Sequence))
	}
	l.engine.failedReads = 0
	l.engine.answered, l.engine.ended = true, false
	l.engine.draining = e.Report.Draining && l.lastReadAt >= l.engine.instanceSince
	before := l.engine.report
	l.engine.report = &e.Report
	l.dropSizes()
	l.boundUnknownSizes()
	if before == nil || before.Draining != e.Report.Draining {
		l.log("engine state", slog.Bool("draining", e.Report.Draining), slog.String("leaves_in", e.Report.LeavesIn.String()),
			slog.Int("models", len(e.Report.Models)))
	}
	l.countUsage()
	l.sampleBudget()
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

// scheduleRead requests a report when one is due.
func (l *Loader) scheduleRead() {
	if l.readPending || l.now < l.nextRead {
		return
	}
	l.readPending, l.lastReadAt = true, l.now
	l.nextRead = l.now.Add(l.readPause())
	l.emit(ReadReport{})
}

// readPause is the pause between the report requested now and the next one.
func (l *Loader) readPause() time.Duration {
	switch t := l.task; {
	case t != nil && l.now < t.due:
		return min(busyReadInterval, t.due.Sub(l.now))
	case t != nil && l.now.Sub(t.due) < overdueAfter:
		return finishReadInterval
	case t != nil:
		return overdueReadInterval
	case l.engine.report != nil && len(l.engine.report.Coming) > 0:
		return finishReadInterval
	case l.engine.report != nil && l.engine.report.Running > 0:
		return busyReadInterval
	default:
		return idleReadInterval
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
