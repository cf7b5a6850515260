Feature: the CI verdict on a test run

  Scenario Outline: <run>
    Given a list of known failures that names "f.feature: second"
    When a run of the scenarios "first" and "second" of f.feature ends with <failing> and status <status>
    Then it <verdict> and its last line is "<last line>"

    Examples:
      | run                                        | failing          | status | verdict | last line                      |
      | nothing fails                              | none failing     | 0      | passes  | 2 passed, 0 failed             |
      | a known failure alone is tolerated         | "second" failing | 1      | passes  | 1 passed, 0 failed, 1 skipped  |
      | another failure fails the run              | "first" failing  | 1      | fails   | 1 passed, 1 failed             |
      | a known failure does not hide another      | both failing     | 1      | fails   | 0 passed, 1 failed, 1 skipped  |
      | an aborted run fails                       | none failing     | 1      | fails   | 2 passed, 0 failed             |

  Scenario: a scenario of the same name in another feature is not tolerated
    Given a list of known failures that names "g.feature: second"
    When a run of the scenarios "first" and "second" of f.feature ends with "second" failing and status 1
    Then it fails and its last line is "1 passed, 1 failed"

  Scenario Outline: a known failure is printed with its state in this run
    Given a list of known failures that names "<test>"
    When a run of the scenarios "first" and "second" of f.feature ends with <failing> and status <status>
    Then its output begins with "KNOWN RED (<state>) <test>"

    Examples:
      | test              | failing          | status | state                              |
      | f.feature: second | "second" failing | 1      | failed                             |
      | f.feature: second | none failing     | 0      | did not fail: take it off the list |
      | soak, seed 912    | none failing     | 0      | not run here                       |
