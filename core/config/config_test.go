package config

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const validText = "[Deployment]\nName = d\n[Zone z]\nRegion = r\n[Service s]\n[Pool p]\nService = s\nBudget = 1\n[Pool spare]\nSpare = yes\n" +
	"[Instance a]\nAddress = 10.0.0.1:80\nZone = z\nRack = r1\nPool = p\n[Instance b]\nAddress = 10.0.0.2:80\nZone = z\nRack = r1\nPool = p\n"

func TestProblemsNameTheirLocation(t *testing.T) {
	cases := []struct {
		name  string
		extra string
		want  Problem
	}{
		{"budget that cannot be exceeded", "[Pool p]\nBudget = 2\n", Problem{"20.ini", "Pool p", "Budget", "a budget of 2 can never be exceeded by 2 instances"}},
		{"pool without a service", "[Pool q]\nBudget = 0\n", Problem{"20.ini", "Pool q", "Service", "pool serves no service and is not a spare pool"}},
		{"share out of range", "[Team t]\nQuota = 101%\n", Problem{"20.ini", "Team t", "Quota", "101% is out of range: want 0% to 100%"}},
		{"duration out of range", "[Service s]\nDeadline = 2h\n", Problem{"20.ini", "Service s", "Deadline", "2h0m0s is out of range: want 1ms to 1h0m0s"}},
		{"key before a section", "Key = 1\n", Problem{"20.ini", "", "Key", "key precedes the first section"}},
		{"key twice in a file", "[Team t]\nQuota = 1%\nQuota = 2%\n", Problem{"20.ini", "Team t", "Quota", "key is given twice in one file"}},
		{"unknown rack", "[Leave l]\nRacks = z/r9\n", Problem{"20.ini", "Leave l", "Racks", "no instance is in rack z/r9: want zone/rack"}},
		{"service of two pools", "[Pool q]\nService = s\n", Problem{"20.ini", "Pool q", "Service", "service s is already served by pool p"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problems := Parse([]File{{"10.ini", validText}, {"20.ini", c.extra}}, 1)
			must.SliceContains(t, problems, c.want)
		})
	}
}

func TestLaterFilesOverrideEarlierOnes(t *testing.T) {
	c, problems := Parse([]File{{"20.ini", "[Pool p]\nBudget = 50%\n"}, {"10.ini", validText}}, 7)
	must.SliceEmpty(t, problems)
	p, _ := c.FindPool("p")
	must.Eq(t, 1, p.Budget.Limit(2))
	must.Eq(t, 7, c.Revision)
}

func TestMergeKeepsComments(t *testing.T) {
	first, err := Publish(Accepted{}, 0, []File{{"10.ini", "; why\n" + validText}}, "1")
	must.NoError(t, err)
	second, err := Publish(first, 1, append(first.Files, File{"20.ini", "[Team t]\nQuota = 5%\n"}), "2")
	must.NoError(t, err)
	third, err := Publish(second, 1, []File{{"10.ini", "; why\n" + strings.Replace(validText, "Budget = 1", "Budget = 0", 1)}}, "3")
	must.NoError(t, err)
	must.Eq(t, 3, third.Revision)
	must.StrContains(t, third.Files[0].Text, "; why")
	c, problems := Parse(third.Files, 3)
	must.SliceEmpty(t, problems)
	must.Len(t, 1, c.Teams)
	p, _ := c.FindPool("p")
	must.Eq(t, 0, p.Budget.Count)
}

// FuzzPublish publishes arbitrary text: it is refused, or the accepted files still parse once they were encoded and decoded.
func FuzzPublish(f *testing.F) {
	for _, seed := range []string{validText, "[", "[Pool p]\nBudget", "[A]\nB = \x00", "[Pool p]\nBudget = %(x)s\n", "a=b=c\n[=]", "[Pool  p ]\nBudget = 1\n", "\"\"\"\n", "[Leave l]\nInstances = a\\\n"} {
		f.Add(seed)
	}
	base, err := Publish(Accepted{}, 0, []File{{"10.ini", validText}}, "1")
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text string) {
		next, err := Publish(base, base.Revision, append(base.Files, File{"20.ini", text}), "2")
		if err != nil {
			must.Eq(t, base.Revision, next.Revision)
			return
		}
		record, err := next.Encode()
		must.NoError(t, err)
		decoded, err := Decode(record)
		must.NoError(t, err)
		_, problems := Parse(decoded.Files, decoded.Revision)
		must.SliceEmpty(t, problems)
	})
}
