Feature: with sidecars, no request is given up while the process that has it goes on

  Scenario: the channel breaks while completions wait for their answers
    Guards against completions that fail with "may have run" although their engine goes on: their channel breaks for a moment, and each of
    them needs a retry from the budget, which allows one in ten.
    Given a system with 1 slow engine of 2 adapter slots and 8 batch slots
    When 30 whole completions are requested and the channels are cut while the engine runs
    Then each of them is answered whole and has run once

  Scenario: a sidecar shuts down while its entry connects again
    Guards against a booking that ran and whose caller gets no confirmation: the sidecar ends while the entry, whose channel has just broken,
    has not received the answer.
    Given a system with 1 booking service and 1 entry
    And the booking services take 300 ms
    When a booking "one" is running, its sidecar shuts down, and the channels are cut until it has ended
    Then the booking is confirmed
    And booking "one" ran 1 time

  Scenario: a request that is read while its entry ends
    Guards against a caller that waits until its deadline: the last part of its request arrives after the entry has closed its channels, and
    it is sent on a closed channel.
    Given a system with 1 booking service and 1 entry
    When the entry shuts down while a booking "late" is being read
    Then the caller is told within 500 ms that it did not run, and its connection is closed

  Scenario: a stream whose connection breaks again and again
    Guards against a long stream that is cut off although its engine has all of it: its connection to the engine breaks a fourth time.
    Given a system with 1 engine of 2 adapter slots and 4 batch slots
    And the engine cuts each connection after 20 events
    When 150 tokens of "a@1" are requested, streamed
    Then the answer is all 150 tokens of "a@1"
