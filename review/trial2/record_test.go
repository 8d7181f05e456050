package trial2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// at returns the seconds from the start to a time.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.began).Seconds()) }

// log writes a line with the present time, to the file and to standard output.
func (r *record) log(format string, args ...any) {
	line := r.at(time.Now()) + " " + fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.write(line)
}

// detail writes a line with the present time to the file only.
func (r *record) detail(format string, args ...any) {
	r.write(r.at(time.Now()) + " " + fmt.Sprintf(format, args...))
}

func (r *record) write(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.file, line)
}
