package maintain

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"tinsail/internal/maintenance"
)

// Store keeps the marks for the next process.
type Store interface {
	// Write replaces the stored text. When it returns nil, the text survives a kill and a loss of power;
	// after an error either the former text or the new one is stored.
	Write(text []byte) error
	// Read returns the stored texts, the newest first: the last one and, in case that one is damaged, the one before it.
	// There is none if nothing was ever stored.
	Read() ([][]byte, error)
}

// fileStore is a file that is replaced by writing a new one beside it, syncing it and renaming it; the former generation
// stays as PATH.old. An incomplete file of a process that was killed has that process's PID in its name; the next Read
// removes it.
type fileStore struct{ path string }

// File returns a store in the file at a path.
func File(path string) Store { return fileStore{path} }

const oldSuffix = ".old"

func (s fileStore) Write(text []byte) error {
	// Two processes may write at the same time during a hand-over: each writes under a name of its own and only renames.
	next := fmt.Sprintf("%s.%d", s.path, os.Getpid())
	os.Remove(next)
	err := s.keepOld(next)
	if err == nil {
		err = writeSynced(next, text)
	}
	if err == nil {
		err = os.Rename(next, s.path)
	}
	if err != nil {
		os.Remove(next)
		return fmt.Errorf("the file of bans: %w", err)
	}
	return syncFolder(filepath.Dir(s.path))
}

// keepOld makes the present file the former generation too. It uses a link, not a rename, so that there is a file at the
// path at all times. A damaged file does not replace a valid former generation. name is a file name that nobody else uses.
func (s fileStore) keepOld(name string) error {
	text, err := os.ReadFile(s.path)
	if err == nil {
		_, err = maintenance.ReadState(text)
	}
	if err != nil {
		return nil
	}
	if err := os.Link(s.path, name); err != nil {
		return err
	}
	err = os.Rename(name, s.path+oldSuffix)
	// If both names are links to the same file already, a rename leaves both in place (rename(2)). The name is removed, so that
	// the next write under it does not overwrite the former generation.
	os.Remove(name)
	return err
}

// writeSynced writes a whole file and syncs it. After a failed sync, a later sync of the same file may succeed without the
// data being on disk: the caller has to start over with a new file.
func writeSynced(name string, text []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// syncFolder makes a rename durable. Some file systems cannot sync folders and return an error for it, which is ignored.
func syncFolder(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("the folder of bans: %w", err)
	}
	defer f.Close()
	if err := f.Sync(); err != nil && !errors.Is(err, syscall.EINVAL) && !errors.Is(err, syscall.ENOTSUP) {
		return fmt.Errorf("the folder of bans: %w", err)
	}
	return nil
}

func (s fileStore) Read() (texts [][]byte, err error) {
	s.removeStale()
	for _, name := range []string{s.path, s.path + oldSuffix} {
		text, e := os.ReadFile(name)
		switch {
		case e == nil:
			texts = append(texts, text)
		case !errors.Is(e, os.ErrNotExist):
			err = errors.Join(err, e)
		}
	}
	return texts, err
}

// removeStale removes the incomplete files of processes that were killed while they wrote.
func (s fileStore) removeStale() {
	names, _ := filepath.Glob(s.path + ".*")
	for _, name := range names {
		pid, err := strconv.Atoi(strings.TrimPrefix(name, s.path+"."))
		if err == nil && errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) {
			os.Remove(name)
		}
	}
}
