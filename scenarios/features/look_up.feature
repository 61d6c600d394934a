Feature: Callers ask which VMs to use

  Background:
    Given the ARCQ deployment with regions mtl and qc

  Scenario Outline: A player is sent to the nearest region first
    When a player near <region> asks which VMs serve suivi
    Then the first VM named is in <region>
    And the answer may be kept for 300 ms

    Examples:
      | region |
      | mtl    |
      | qc     |

  Scenario: A leaving VM is not named
    When the platform lists mtl-2 as leaving
    Then within 3000 ms no node names mtl-2

  Scenario: The VM of a draining site is not named
    When the operator drains site/mtl-b
    Then within 3000 ms no node names mtl-2

  Scenario: A service that nobody declared
    When a player near mtl asks which VMs serve trombones
    Then the look-up is answered with 404
