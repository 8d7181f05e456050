// Command generate writes the generated example declarations below the
// directory named by its argument.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/examples"
)

const fileMode = 0o644

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: generate DIR")
		os.Exit(2)
	}
	if err := write(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func write(dir string) error {
	for _, name := range examples.Names() {
		files, err := examples.Generate(name)
		if err != nil {
			return err
		}
		for _, file := range files {
			path := filepath.Join(dir, name, file.Name)
			if err := os.WriteFile(path, file.Data, fileMode); err != nil {
				return errors.Wrap(err, "write declarations")
			}
		}
	}
	return nil
}
