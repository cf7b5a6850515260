Feature: ledgers, revisions, budgets and placement
  Small decisions that others rely on, each compared with a naive version.

  Scenario: a request frame runs at most once, and never after its withdraw
    A request runs although its caller was answered that it was withdrawn. This happens when frames arrive twice or late, or
    a withdraw arrives first, and the sidecar does not remember that it received the frame or its withdraw.
    Then a ledger and a set of everything received agree on which frames may run

  Scenario: a configuration never goes to a lower revision
    Then for any order of documents the revision in force is the highest offered so far

  Scenario: retries stay within their share of first attempts
    The other availability zones receive several times their load and fail too after one has failed. This happens when every
    request there fails and every failure is retried without a budget.
    Then for any mix of attempts and retries the retries stay within the budget

  Scenario: removing an upstream moves only its own adapters
    Then for any set of upstreams the order of the others is unchanged

  Scenario: entries with the same stale report do not all choose the same upstream
    Load swings between upstreams, and each in turn is overloaded. This happens when many requests arrive between two
    reports and an entry ignores what it has sent itself.
    Then a hundred requests between two reports are spread over all upstreams

  Scenario: upstreams that have not loaded anything yet get their share of loads
    One engine has all adapters loaded and evicts them continually while the others are empty. This happens when one engine
    has measured its loads, the others still report an estimate, and the two are compared.
    Then a hundred new adapters are spread over all upstreams though one has measured short loads

  Scenario: the sidecar with the adapter loaded gets its requests until its queue costs more than a load
    Then a request goes to the sidecar with the adapter while it has room and elsewhere once its queue is long
