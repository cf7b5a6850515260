Feature: `hazelford explain` explains a failed request from logs alone
  The log lines have the form that entries write.

  Scenario: a booking whose answer was lost
    Given logs of two entries, in which a booking's answer was lost
    When the booking is explained
    Then the explanation says that the booking may have run and was not sent again, with its upstream and the broken connection

  Scenario: a draft whose adapter was not loaded in time
    Given logs of two entries, in which a draft was refused because its adapter was unavailable
    When the draft is explained
    Then the explanation says that the draft did not run, and shows the holder that did not answer

  Scenario: a request whose entry was killed
    Given logs of two entries, in which a request has no line with its end
    When that request is explained
    Then the explanation says that its entry was killed or its log ends too soon
    And the explanation says that its entry started again 700 ms later

  Scenario: a request that no log names
    When a request that no log names is explained
    Then the explanation says why its lines may be missing

  Scenario Outline: an answer that its entry cut while <what>
    Guards against an entry that stood still being taken for a silent upstream, and the reverse.
    Given logs of an entry that cut an answer for "<cause>" 1300 ms after its upstream's last data, itself paused for <pause> ms
    When the cut draft is explained
    Then the explanation names the cause "<cause>", the silence of 1300 ms, the pause of <pause> ms and says "<what>", but not that the draft did not run
    And the explanation gives configuration and adapter version at each send, and the upstream that was withdrawn for the other

    Examples:
      | cause               | pause | what                    |
      | attempts-spent      | 40    | the upstream was silent |
      | adapter-unavailable | 1250  | the entry stood still   |
