Feature: operators are told the truth about their changes

  Scenario: two operators change the configuration at the same time
    Symptom: one operator's change vanishes without a word.
    Events: both read revision 1, both apply.
    Cause: the second write replaced the first.
    Given revision 1 is in the key-value service
    And two operators have taken it for editing
    When both apply their change
    Then the first is accepted as revision 2
    And the second is told of a conflict with a diff, and changes nothing

  Scenario Outline: the reply to the write is lost
    Symptom: an operator is told of a failure, applies again, and reports a race that never happened.
    Events: the write <event>, no reply comes.
    Cause: silence was taken for a refusal.
    Given revision 1 is in the key-value service
    When an operator applies a change and the write <event>
    Then the operator is told "<told>"

    Examples:
      | event                                            | told                      |
      | takes effect but its reply is lost               | accepted                  |
      | takes effect, its reply is lost, another follows | replaced                  |
      | is lost and reading back fails too               | unknown                   |
      | is refused                                       | nothing was changed       |
      | is late and takes effect after reading back      | unknown                   |

  Scenario: a rollback is a new revision
    Given revision 1 is in the key-value service
    When an operator applies a change
    And an operator rolls back to revision 1
    Then revision 3 has the text of revision 1

  Scenario: a text with mistakes is not applied
    Given revision 1 is in the key-value service
    When an operator applies a text with mistakes
    Then the operator is told "mistakes"
    And revision 1 still stands
