Feature: what a caller is told about a request is true
  Symptom: a booking runs twice, or a caller who was told "not run" finds it booked.
  Events: attempts fail with different verdicts, deadlines pass and callers leave, in any order.
  Cause: a retry or an answer was decided on something other than the verdict.

  Scenario: any sequence of attempts and interruptions
    Given any request and any way its attempts end
    Then there is one attempt at a time, one final answer, and no retry that the verdict forbids
    And "not run" is told only when no attempt may have run

  Scenario: an answer that broke after its first byte
    Given a streamed answer that has begun
    When the attempt ends with a failure
    Then the answer is broken visibly and nothing is sent again

  Scenario: a deadline that passes while the sidecar has the request
    Given a booking at a sidecar
    When the deadline passes and the sidecar says that it had begun
    Then the caller is told that it may have run
    When the deadline passes and the sidecar says that it had not begun
    Then the caller is told that it did not run

  Scenario: a deadline after an attempt that may have run
    Symptom: a caller is told "not run" although the first attempt may have run.
    Events: the first attempt's channel breaks, the second is withdrawn at the deadline before it began.
    Cause: the answer to the withdraw was taken for the whole request.
    Given an idempotent request whose first attempt may have run and whose second waits
    When the deadline passes and the sidecar says that the second had not begun
    Then the caller is told that it may have run
