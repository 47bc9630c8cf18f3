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

// Store keeps the marks for the process after this one.
type Store interface {
	// Write keeps a text in place of the one before. When it returns nil the text outlives a kill and a loss of power;
	// after an error the one before, or the new one, is there.
	Write(text []byte) error
	// Read returns what was kept, the newest first: one text or, so that a damaged one is no loss of all, the one before too.
	// There is none where nothing was ever kept.
	Read() ([][]byte, error)
}

// fileStore is a file that is written beside its place, synced and renamed; the generation before stays as PATH.old. A text
// that was being written by a process that was killed has that process's number in its name, and goes with the next Read.
type fileStore struct{ path string }

// File keeps marks in a file at a path.
func File(path string) Store { return fileStore{path} }

const oldSuffix = ".old"

func (s fileStore) Write(text []byte) error {
	// Two processes may write at a time, while one hands over to the other: each under a name of its own, and by renames alone.
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

// keepOld has what is at the place be the generation before as well: a link, not a rename, so that there is always something at
// the place. What is damaged takes no whole one's place. name is one that nobody else uses.
func (s fileStore) keepOld(name string) error {
	text, err := os.ReadFile(s.path)
	if err == nil {
		_, err = maintenance.ReadKept(text)
	}
	if err != nil {
		return nil
	}
	if err := os.Link(s.path, name); err != nil {
		return err
	}
	err = os.Rename(name, s.path+oldSuffix)
	// Where both are the same file already, a rename leaves both names (rename(2)): what is written next under this one must not be
	// the generation that is kept.
	os.Remove(name)
	return err
}

// writeSynced writes a file whole. A sync that failed once must not be followed by one that hides it: the caller begins anew.
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

// syncFolder makes a rename last. Some file systems sync no folders, and say so.
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
	s.clear()
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

// clear removes what processes that are no more were writing when they were killed.
func (s fileStore) clear() {
	names, _ := filepath.Glob(s.path + ".*")
	for _, name := range names {
		pid, err := strconv.Atoi(strings.TrimPrefix(name, s.path+"."))
		if err == nil && errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) {
			os.Remove(name)
		}
	}
}
