"""Tests that the pages link to existing pages and name existing commands."""

from __future__ import annotations

import re
from pathlib import Path

from savorychute.cmd.command import COMMANDS
from savorychute.cmd.parser import load_commands

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.rst'))]


def test_links_point_to_existing_pages():
    broken = []
    for page in PAGES:
        text = page.read_text('utf-8')
        for target in re.findall(r'\]\(([\w./-]+)\)', text):
            if not (page.parent / target).exists():
                broken.append(f'{page.name}: {target}')
        for target in re.findall(r':doc:`(?:[^<`]*<)?([\w./-]+)>?`', text):
            base = ROOT / 'docs' if target.startswith('/') else page.parent
            if not (base / f'{target.lstrip("/")}.rst').exists():
                broken.append(f'{page.name}: {target}')
    assert broken == []


def test_named_commands_exist():
    load_commands()
    known = set(COMMANDS) | {name.split()[0] for name in COMMANDS}
    unknown = []
    named = 0
    for page in PAGES:
        text = page.read_text('utf-8')
        for words in re.findall(r'(?:``|bin/)savorychute ([a-z][a-z -]*)', text):
            named += 1
            parts = words.split()
            if parts[0] not in known and ' '.join(parts[:2]) not in known:
                unknown.append(f'{page.name}: {words}')
    assert unknown == []
    assert named > 10


def test_pages_name_existing_files():
    missing = []
    for page in PAGES:
        for target in re.findall(r'docs/tutorial/[\w.-]+\w', page.read_text('utf-8')):
            if not (ROOT / target).exists():
                missing.append(f'{page.name}: {target}')
    assert missing == []
