Feature: operators learn reliably whether their changes took effect

  Scenario: two operators change the configuration at the same time
    Symptom: one operator's change is lost without any report.
    Events: both read revision 1, both apply.
    Cause: the second write replaces the first.
    Given revision 1 is in the key-value service
    And two operators have read it for editing
    When both apply their change
    Then the first is accepted as revision 2
    And the second gets a conflict with a diff, and changes nothing

  Scenario Outline: the reply to the write is lost
    Symptom: an operator gets a failure, applies again, and gets a conflict with their own change.
    Events: the write <event>, and no reply arrives.
    Cause: a missing reply is treated as a refusal.
    Given revision 1 is in the key-value service
    When an operator applies a change and the write <event>
    Then the operator gets the report "<report>"

    Examples:
      | event                                            | report                    |
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

  Scenario: an invalid text is not applied
    Given revision 1 is in the key-value service
    When an operator applies an invalid text
    Then the operator gets the report "invalid text"
    And revision 1 is still in force
