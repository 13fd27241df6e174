import pytest

from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.instance.utils import classify_statement


@pytest.mark.parametrize(
    "sql",
    [
        "SELECT 1",
        "  -- comment\nselect 1;",
        "WITH a AS (SELECT 1) SELECT * FROM a",
        "select ';'",
    ],
)
def test_reads(sql):
    assert classify_statement(sql) is True


@pytest.mark.parametrize(
    "sql",
    [
        "INSERT INTO t VALUES (1)",
        "/* c */ update t set a = 1",
        "WITH a AS (SELECT 1) INSERT INTO t SELECT * FROM a",
        "WITH a AS (SELECT 1) DELETE FROM t",
        "CREATE TABLE t (a)",
    ],
)
def test_writes(sql):
    assert classify_statement(sql) is False


@pytest.mark.parametrize(
    "sql",
    [
        "",
        ";",
        "BEGIN",
        "commit;",
        "SAVEPOINT a",
        "ROLLBACK TO a",
        "ATTACH 'x' AS y",
        "PRAGMA query_only = 0",
        "SELECT 1; DROP TABLE t",
        "INSERT INTO t VALUES (1); COMMIT",
        "VACUUM",
    ],
)
def test_statements_that_reach_beyond_their_request_are_refused(sql):
    refusal = classify_statement(sql)
    assert isinstance(refusal, Refusal)
    assert refusal.kind is ErrorKind.STATEMENT_NOT_ALLOWED
